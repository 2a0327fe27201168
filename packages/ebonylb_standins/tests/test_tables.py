from ebonylb.interfaces import Check, Write
from ebonylb_standins.tables import Tables


class TestTables:
    def setup_method(self):
        self.now = 0.0
        self.tables = Tables(lambda: self.now)

    def write(self, write_id, value, revision=None):
        checks = [] if revision is None else [Check("t", "k", revision)]
        return self.tables.transact(write_id, checks, [Write("t", "k", value)])

    def test_lagging_reads_show_the_past(self):
        """Guards against reads with a lag that return the current row."""
        self.write("w1", {"n": 1})
        self.now = 100
        self.write("w2", {"n": 2})
        assert self.tables.read("t", "k", 0).value == {"n": 2}
        assert self.tables.read("t", "k", 50).value == {"n": 1}
        assert self.tables.read("t", "k", 150) is None
        assert self.tables.scan("t", "", "", 10, 50)[0].value == {"n": 1}

    def test_write_id_applies_once(self):
        """Guards against a repeated write id that takes effect twice."""
        assert self.write("w1", {"n": 1}, 0) is None
        assert self.write("w2", {"n": 2}, 1) is None
        assert self.write("w1", {"n": 1}, 0) is None
        assert self.tables.read("t", "k", 0).value == {"n": 2}

    def test_revisions_go_on_after_a_delete(self):
        """Guards against an outdated check that passes again for a new row."""
        self.write("w1", {"n": 1}, 0)
        self.write("w2", None, 1)
        assert self.write("w3", {"n": 3}, 0) is None
        assert self.tables.read("t", "k", 0).revision == 3
        assert self.write("w4", {"n": 4}, 1) is not None
