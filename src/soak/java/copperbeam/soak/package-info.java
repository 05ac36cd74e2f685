/**
 * A randomized fault soak test: real conductor processes run on the loopback interface between stand-ins of clients, servers and
 * discovery, under injected faults that overlap in time. An oracle checks what all parties observed against the protocol's rules.
 * See docs/fault-soak.md.
 */
package copperbeam.soak;
