"""bellrack: decides where long-lived connections go."""
