"""The operator's file (KDL): switches on features of one installation that the platform's configuration lacks."""
