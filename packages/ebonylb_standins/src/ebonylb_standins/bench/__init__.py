"""Policy bench: compares shard owners with a plain baseline on in-process engines."""
