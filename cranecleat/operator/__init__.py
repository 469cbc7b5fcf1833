"""The operator's file (KDL): switches on parts of one installation that the platform's configuration does not cover."""
