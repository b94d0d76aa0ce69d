"""Adapter to the platform on which the users run the product.

No other package depends on the platform's names, paths and document formats.
"""
