/**
 * Reads the server list from etcd through its JSON gateway: a range request, then a watch from the next revision.
 */
package copperbeam.protocol.etcd;
