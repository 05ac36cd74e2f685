package copperbeam.soak;

/** What a server does. */
enum Role {
    READER,
    WRITER
}
