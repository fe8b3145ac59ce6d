"""Detection measured on real nodes before emulated targets."""
