Feature: HTTP client

  Scenario: A single-send call reaches the peer once
    # Guards against libcurl sending a POST again by itself when a reused
    # connection closes before any byte of the answer.
    Given a peer that closes a connection at its second request
    When two single-send calls are made
    Then the peer has seen 2 requests

  Scenario: The guard against a repeated send is needed
    # Shows that the scenario above would see the fault.
    Given a peer that closes a connection at its second request
    When two ordinary calls are made
    Then the peer has seen 3 requests

  Scenario: A pool of silent connections is dropped at the first time-out
    # Guards against new work that waits on connections which something
    # between the two ends has lost track of.
    Given a peer with 3 pooled connections that have gone silent
    When a call times out on one of them
    Then the next 6 calls are answered on new connections

  Scenario: Cancelling a call closes its connection
    # Guards against the rest of an abandoned answer being read as the answer
    # of the next call.
    Given a peer that sends half of an answer and pauses
    When the call is cancelled and another is made
    Then the other call runs on a new connection and has its own answer

  Scenario: A call of a closed client fails at once
    # Guards against a thread that waits for ever for a call which it made
    # while the client was being closed.
    Given a peer that closes a connection at its second request
    When calls are made from 4 threads while the client is closed
    Then each of them has ended
