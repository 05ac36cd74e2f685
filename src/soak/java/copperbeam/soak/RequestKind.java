package copperbeam.soak;

/** The classes of the soak's settings. */
enum RequestKind {
    SAFE("ask"),
    UNSAFE("send"),
    KEYED("pay");

    final String requestClass;

    RequestKind(String requestClass) {
        this.requestClass = requestClass;
    }
}
