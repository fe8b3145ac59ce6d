"""A small fleet on one machine that shows the seven promises."""
