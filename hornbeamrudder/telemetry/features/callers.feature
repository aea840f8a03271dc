Feature: What callers may send

  Scenario: No request of a caller fails by an internal error
    # Guards against an input that raises out of a handler: the caller is told
    # an unknown outcome for a request that was never understood.
    Given a node with an engine that does not answer
    Then arbitrary requests are answered without an internal error

  Scenario Outline: Deep JSON, long keys and many headers are refused
    # Guards against inputs that cost more than a request is worth.
    Given a node with an engine that does not answer
    When a caller sends <what>
    Then the caller is told <status> and "<detail>"

    Examples:
      | what                               | status | detail          |
      | an Idempotency-Key of 257 letters  | 400    | Idempotency-Key |
      | 150 headers                        | 400    | headers         |
      | a body nested 500 deep             | 400    | nested          |
      | a body of 2000000 bytes            | 413    | exceeds         |
      | a Last-Event-ID of 5000 letters    | 400    | Last-Event-ID   |

  Scenario: No bytes on a caller's connection end the server
    # Guards against a head that ends the process or a thread of the server.
    Given a node with an engine that does not answer
    Then arbitrary bytes on its port leave it serving
