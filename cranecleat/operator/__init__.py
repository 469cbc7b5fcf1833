"""The operator's file (KDL): what this installation switches on beside what the platform's configuration tells."""
