package copperbeam.soak;

/** How an attempt ended at a server. */
enum AttemptEnd {
    /** It was answered as its role does, whole. */
    SERVED,
    /** 503, 504 or 410 with the word that nothing ran. */
    TURNED_AWAY,
    /** An error, a reset, or half an answer. */
    FAILED,
    /** The conductor closed the connection first. */
    GIVEN_UP
}
