"""Programs for developers that start several processes; never part of the installed package."""
