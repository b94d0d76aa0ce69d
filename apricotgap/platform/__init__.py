"""Adapter between the product and the users' platform.

Only this package knows the platform's names, paths and document formats.
"""
