package copperbeam.soak;

/** How an attempt ended at a server. */
enum AttemptEnd {
    /** The server answered completely, as a server of its role does. */
    SERVED,
    /** 503, 504 or 410 with the header that says that nothing was run. */
    TURNED_AWAY,
    /** An error, a reset, or an incomplete answer. */
    FAILED,
    /** The server went on with what belongs to no answer, until the connection was closed. */
    SPOILT,
    /** The conductor closed the connection first. */
    GIVEN_UP
}
