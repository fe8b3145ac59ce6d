"""Detection of sick targets: evidence in, decisions out."""
