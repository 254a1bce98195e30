"""Jobs of several steps: what is kept of them, where they run, who decides and who carries out."""
