/**
 * Reads the server list from etcd through its JSON gateway, by range requests and watches.
 */
package copperbeam.protocol.etcd;
