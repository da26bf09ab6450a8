"""Names, wire formats and calls of the platform. Contains no scheduling decisions."""
