package io.vanillapoint.core.published;

/** How much the gateway depends on an item of the store. */
public enum Importance {
    /** Nothing reads the value; also a removed key. */
    UNUSED,
    /** A replica that may receive requests. */
    IN_USE,
    /** An order of the operators, which nothing else repeats. */
    ESSENTIAL
}
