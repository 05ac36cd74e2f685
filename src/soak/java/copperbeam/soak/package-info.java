/**
 * A randomized fault soak: real conductor processes on the loopback between stand-ins of clients, servers and discovery,
 * with faults that overlap in time, and an oracle that holds the protocol's rules against what all parties saw. See
 * docs/fault-soak.md.
 */
package copperbeam.soak;
