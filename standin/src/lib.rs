//! Small stand-ins for the systems around monsoonbank, with faults that can be switched on.
