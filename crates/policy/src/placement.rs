//! Where tasks are placed, and which are held back or evicted.
