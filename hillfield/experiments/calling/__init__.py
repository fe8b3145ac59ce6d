"""A deployment of services that call each other, in modelled time."""
