"""Stand-ins for the platform and the back ends; never imported by the daemons."""
