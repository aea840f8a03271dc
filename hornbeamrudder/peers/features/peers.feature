Feature: Messages and connections between nodes

  Scenario: Every message survives encoding and decoding
    # Guards against a field that is encoded and decoded differently.
    Then random messages of every type are decoded as they were encoded

  Scenario: Malformed input is rejected with a failure
    # Guards against input that raises in the receiving thread or is decoded
    # to a message of the wrong types.
    Then random bytes and corrupted messages are decoded or return a failure

  Scenario: Messages of later and earlier releases are readable
    # Guards against nodes that lose contact during a rolling update.
    Then a Heartbeat with an additional field is decoded without it
    And a Heartbeat without the optional fields is decoded

  Scenario: The peer view is updated by heartbeats
    # Guards against shares for dead peers, and against late heartbeats of an
    # earlier incarnation.
    Then a peer is live for 2 s after its heartbeat
    And an earlier incarnation does not replace a later one

  Scenario Outline: Two nodes exchange messages over <transport>
    # Guards against lost answers and answers matched to another request.
    Given nodes "a" and "b" connected over <transport>
    When "a" sends 200 concurrent requests to "b"
    Then each request receives its own answer
    And the counters of "a" show 200 messages and no drops

    Examples:
      | transport |
      | TCP       |
      | TLS       |

  Scenario: A peer with a wrong key is refused
    # Guards against messages from a process without the shared key.
    Given node "a" and node "b" with different keys
    Then "a" counts failed authentications and neither is connected

  Scenario: Malformed frames close only their own connection
    # Guards against a port scanner or a corrupted stream that stops a node.
    Given nodes "a" and "b" connected over TCP
    When random bytes, oversized lengths and a forged MAC are sent to "a"
    Then "a" still answers "b"
    And a client that sends nothing is disconnected within 6 s

  Scenario: A silent connection is replaced
    # Guards against a connection that stays open but transfers no data.
    Given nodes "a" and "b" connected through a relay
    When the relay stops forwarding on its open connections
    Then "a" replaces its connection to the relay within 6 s

  Scenario: A restarted peer is reconnected
    # Guards against a node that stays disconnected after its peer restarts.
    Given nodes "a" and "b" connected over TCP
    When "b" is closed and started again at its address
    Then "a" reconnects to "b" within 8 s
    And requests sent in between end with a failure

  Scenario: A full queue is reported
    # Guards against messages that are dropped without being counted.
    Given nodes "a" and "b" connected over TCP
    When the handler of "b" blocks and "a" sends 200 MB
    Then some sends return False and each of them is counted
