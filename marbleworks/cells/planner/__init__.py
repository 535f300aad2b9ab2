"""Makes the next plan of cells from the present one and the roster of members."""
