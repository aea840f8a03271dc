Feature: Messages and connections between nodes

  Scenario: Every message survives encoding and decoding
    # Guards against a field that the other side reads differently.
    Then random messages of every type are decoded as they were encoded

  Scenario: Malformed input gives an error value
    # Guards against an input that ends a thread or builds a wrong message.
    Then random bytes and damaged messages are decoded or give a failure

  Scenario: A message of a later release is readable
    # Guards against a rolling update that cuts nodes off.
    Then a Heartbeat with one more field is decoded without it
    And a Heartbeat without the fields with defaults is decoded

  Scenario: The view follows heartbeats
    # Guards against shares for dead peers and old incarnations that return.
    Then a peer is alive for 2 s after its heartbeat
    And an earlier incarnation does not replace a later one

  Scenario Outline: Two nodes exchange messages over <transport>
    # Guards against lost answers and answers given to another request.
    Given nodes "a" and "b" connected over <transport>
    When "a" sends 200 requests of several sizes to "b" at once
    Then each request has its own answer
    And the counters of "a" show 200 messages and no drop

    Examples:
      | transport |
      | TCP       |
      | TLS       |

  Scenario: A wrong key is refused
    # Guards against messages from a process that does not have the key.
    Given node "a" and node "b" with another key
    Then "a" counts failed authentications and neither is connected

  Scenario: Malformed frames end only their connection
    # Guards against a scanner or a damaged stream that stops a node.
    Given nodes "a" and "b" connected over TCP
    When random bytes, huge lengths and replayed proofs are sent to "a"
    Then "a" still answers "b"
    And a half-open client is disconnected within 6 s

  Scenario: A silent connection is replaced
    # Guards against a connection that stays open and carries nothing.
    Given nodes "a" and "b" connected through a relay
    When the relay stops forwarding on its open connections
    Then "a" replaces its connection to the relay within 6 s

  Scenario: A restarted peer is connected again
    # Guards against a node that stays cut off after its peer restarts.
    Given nodes "a" and "b" connected over TCP
    When "b" is closed and started again at its address
    Then "a" is connected to "b" again within 8 s
    And requests in between ended with a failure

  Scenario: A full queue is reported
    # Guards against messages that are dropped without a trace.
    Given nodes "a" and "b" connected over TCP
    When the handler of "b" stops and "a" sends 200 MB
    Then some sends return False and each is counted
