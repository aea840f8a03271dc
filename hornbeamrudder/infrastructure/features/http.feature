Feature: HTTP client

  Scenario: A single-send call reaches the peer once
    # Guards against libcurl resending a POST when a reused connection closes
    # before the first byte of the response.
    Given a peer that closes a connection at its second request
    When two single-send calls are made
    Then the peer has received 2 requests

  Scenario: libcurl resends ordinary calls
    # Shows that the scenario above detects a resent request.
    Given a peer that closes a connection at its second request
    When two ordinary calls are made
    Then the peer has received 3 requests

  Scenario: Pooled connections to a peer are discarded after a time-out
    # Guards against calls that wait on pooled connections whose state was lost
    # by a device on the network path.
    Given a peer with 3 pooled connections that no longer respond
    When a call times out on one of them
    Then the next 6 calls succeed on new connections

  Scenario: Cancelling a call closes its connection
    # Guards against reading the rest of an abandoned response as the response
    # to the next call.
    Given a peer that sends half of a response and pauses
    When the call is cancelled and another is made
    Then the second call gets its own response on a new connection

  Scenario: Calls on a closed client complete
    # Guards against a thread that waits forever for a call made while the
    # client was being closed.
    Given a peer that closes a connection at its second request
    When calls are made from 4 threads while the client is closed
    Then every call has completed
