"""Where requests go when each entry sees little: loads and evidence shared inside a domain."""
