"""The programs and stand-ins of the cases of the third review."""
