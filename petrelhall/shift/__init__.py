"""Moving traffic between two pools of boxes by measurement. Pure: no clock, no socket."""
