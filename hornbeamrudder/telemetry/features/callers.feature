Feature: Robustness against arbitrary caller input

  Scenario: No request causes an internal error
    # Guards against input that raises an exception out of a handler. The caller
    # would get an unknown outcome for a request that was never parsed.
    Given a node with an engine that does not answer
    Then arbitrary requests are answered without an internal error

  Scenario Outline: Oversized or deeply nested requests are rejected
    # Guards against input whose parsing uses excessive CPU or memory.
    Given a node with an engine that does not answer
    When a caller sends <what>
    Then the response has status <status> and its detail contains "<detail>"

    Examples:
      | what                                 | status | detail          |
      | an Idempotency-Key of 257 characters | 400    | Idempotency-Key |
      | 150 headers                          | 400    | headers         |
      | a body nested 500 deep               | 400    | nested          |
      | a body of 2000000 bytes              | 413    | exceeds         |
      | a Last-Event-ID of 5000 characters   | 400    | Last-Event-ID   |

  Scenario: Arbitrary bytes on a connection do not stop the server
    # Guards against a malformed request head that ends the process or a thread.
    Given a node with an engine that does not answer
    Then the node still serves requests after arbitrary bytes on its port
