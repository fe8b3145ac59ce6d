"""Selection of peers and maintenance of the links to them."""
