"""Service files of the operators, the published configuration, and its versions."""
