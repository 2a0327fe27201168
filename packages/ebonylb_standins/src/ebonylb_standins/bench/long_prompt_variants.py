"""Other rules for long prompts, against which the one of the product is measured."""

from ebonylb.batches.prompt_load import PromptLoad

# Work of the engines that already take long prompts above which another one is added.
PACKED_MS = 150.0


class NoPromptLoad(PromptLoad):
    """Prompts don't matter for the choice of a server."""

    def begin(self, server, need, cached, gap_ms) -> None:
        """Record nothing."""

    def is_long(self, server, tokens, gap_ms) -> bool:
        """Return False, so that no prompt has a cost or waits."""
        return False


class CostOnly(PromptLoad):
    """Servers are chosen by pending prompt work; no prompt waits for it."""

    def admits(self, server, need, cached, gap_ms) -> bool:
        """Return True."""
        return True


class BoundOnly(PromptLoad):
    """Prompt work of a server is bounded; servers are chosen by requests."""

    def extra_cost(self, server, need, cached, gap_ms) -> float:
        """Return 0."""
        return 0.0


class DedicatedEngines(PromptLoad):
    """As few servers as the demand needs take the long prompts, and no short ones."""

    def admits(self, server, need, cached, gap_ms) -> bool:
        """Return whether the server is one of those for the item's kind of prompt."""
        engine = self.find(server)
        has_long = engine is not None and engine.has_long
        if not self.is_long(server, 0 if cached else need.prompt_tokens, gap_ms):
            return True
        if has_long:
            return self.pending_ms(server, gap_ms) < PACKED_MS
        now = self.clock.monotonic_ms()
        others = [other for other in self.engines.values() if other.has_long]
        return all(other.free_at_ms - now >= PACKED_MS for other in others)

    def extra_cost(self, server, need, cached, gap_ms) -> float:
        """Return a cost that keeps short prompts away from engines with long ones."""
        engine = self.find(server)
        has_long = engine is not None and engine.has_long
        return 10.0 * (has_long != self.is_long(server, need.prompt_tokens, gap_ms))


VARIANTS = {
    "chosen": PromptLoad,
    "baseline": NoPromptLoad,
    "cost-only": CostOnly,
    "bound-only": BoundOnly,
    "dedicated": DedicatedEngines,
}
