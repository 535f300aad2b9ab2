"""What stands above all subsystems: the sections of the operator's file, and how a router is fitted with
them."""
