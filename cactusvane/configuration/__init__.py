"""The operators' files, the published configuration and its versions."""
