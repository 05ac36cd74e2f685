/**
 * etcd as the source of the list of servers, by its JSON gateway: a range request, then a watch from the next revision.
 */
package copperbeam.protocol.etcd;
