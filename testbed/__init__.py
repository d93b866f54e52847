"""Tools that measure the gateway's code; the gateway itself never imports them."""
