"""Code that all hemlockdock processes share."""
