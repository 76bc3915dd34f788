"""Programs for developers that start several processes; not part of the installed package."""
