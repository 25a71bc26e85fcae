"""The routing policy against baselines, under a virtual clock."""
