"""Command line for operators of ebonylb."""
