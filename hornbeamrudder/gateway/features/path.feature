Feature: Request path between clients and backend servers

  Scenario Outline: Response to the client when a backend server fails
    # Guards against executing a request twice, against 503 (not executed) for
    # a request that may have been executed, and against errors that a retry
    # would avoid.
    When a request on "<route>" is sent to servers that respond with "<first>" and then "<second>"
    Then the client receives <status> and <arrivals> servers receive the request

    Examples:
      | route | first      | second | status | arrivals |
      | look  | normal     | normal | 200    | 1        |
      | look  | error      | normal | 200    | 2        |
      | look  | error      | error  | 500    | 2        |
      | look  | reset      | normal | 200    | 2        |
      | look  | hang       | normal | 200    | 2        |
      | look  | cut        | normal | 200    | 2        |
      | look  | unsealed   | normal | 200    | 2        |
      | look  | garbled    | normal | 200    | 2        |
      | look  | full       | normal | 200    | 2        |
      | look  | full       | full   | 503    | 2        |
      | look  | unframed   | normal | 200    | 1        |
      | look  | extra      | normal | 200    | 1        |
      | book  | normal     | normal | 200    | 1        |
      | book  | error      | normal | 500    | 1        |
      | book  | reset      | normal | 502    | 1        |
      | book  | cut        | normal | 502    | 1        |
      | book  | garbled    | normal | 502    | 1        |
      | book  | unsealed   | normal | 502    | 1        |
      | book  | full       | normal | 503    | 1        |
      | book  | hang       | normal | 504    | 1        |
      | book  | unframed reset | normal | 502 | 1       |
      | chat  | normal     | normal | 200    | 1        |
      | chat  | reset      | normal | 502    | 1        |
      | chat  | full       | normal | 503    | 1        |
      | plan  | normal     | normal | 200    | 1        |
      | plan  | reset      | normal | 200    | 2        |
      | plan  | hang       | normal | 200    | 2        |
      | plan  | cut        | normal | 200    | 2        |

  Scenario: A resumed stream contains each event once, in order
    # Guards against lost, duplicated or merged events after a resumption.
    When a resumable stream breaks within an event
    Then the client receives each event once and the second server receives the id of the last complete event

  Scenario: A truncated stream that cannot be resumed is visibly incomplete
    # Guards against clients that mistake a truncated response for a complete
    # one.
    When a non-resumable stream breaks within an event
    Then the response to the client is incomplete

  Scenario Outline: A silent stream goes on where it is if it can't go elsewhere
    # Guards against ending a stream whose server pauses if no retry is
    # possible, for lack of retry budget or of a second engine: the response
    # would be lost (rule LOST).
    When a resumable stream pauses for a second with <engines> engines and a retry budget of <budget>
    Then the client receives the complete stream from <servers> servers

    Examples:
      | engines | budget | servers |
      | 1       | 50     | 1       |
      | 2       | 0      | 1       |
      | 2       | 50     | 2       |

  Scenario Outline: Responses that belong to another request are skipped
    # Guards against forwarding a surplus response on a reused connection to
    # the wrong client.
    When 12 consecutive requests are sent to servers with the behaviour "<behaviour>"
    Then each client receives the response to its own request

    Examples:
      | behaviour  |
      | extra      |
      | late extra |

  Scenario: Each request names its intended backend server
    # Guards against executing a request at another server to which the address
    # has been reassigned.
    When the address of a server is reassigned to another server
    Then the request is not executed there and another server responds

  Scenario: Headers reserved for the system are removed from client requests
    # Guards against forwarding forged accounts, priorities and reservations,
    # and against disclosing the client's key to backend servers.
    When a client sends headers that are reserved for the system
    Then the backend server receives the account of the key and none of the forged headers

  Scenario Outline: Invalid requests are rejected
    # Guards against request smuggling and unbounded input.
    When a client sends "<input>"
    Then the client receives <status> and no server receives a request

    Examples:
      | input                   | status |
      | length and chunked      | 400    |
      | two lengths             | 400    |
      | folded header           | 400    |
      | head over the limit     | 431    |
      | body over the limit     | 413    |
      | unknown route           | 404    |
      | unknown key             | 401    |
      | incomplete head         | 408    |

  Scenario: Chunked bodies and pipelined requests reach the backend unchanged
    # Guards against reading the end of a body as the start of the next
    # request.
    When a client sends three pipelined requests with chunked bodies
    Then three responses arrive in order and the bodies are unchanged

  Scenario Outline: Work is cancelled when the client disconnects
    # Guards against engines that keep generating after the client has
    # disconnected.
    When a client disconnects while its request "<phase>"
    Then the request is cancelled at the backend server within half a second

    Examples:
      | phase               |
      | has no response yet |
      | is being streamed   |

  Scenario: The remaining time is forwarded to the backend server
    # Guards against backend servers that work past the client's deadline.
    When a request with 700 ms to its deadline is forwarded
    Then the backend server receives a remaining time of 400 to 700 ms

  Scenario: An early response leaves the request body intact
    # Guards against reading bytes of the next request as part of the body.
    When a server responds before it has read a long body
    Then the client receives that response and the server reads the whole body or none of it

  Scenario: A draining server receives no new requests
    # Guards against requests that are lost when their server terminates.
    When a server announces that it is draining
    Then it receives no further requests

  Scenario: A revoked key is refused soon after its removal
    # Guards against revoked keys that remain valid.
    When a key is removed from the configuration
    Then requests with it receive 401 within 2 seconds

  Scenario: Keys are not accepted once the configuration may be out of date
    # Guards against accepting revoked keys on a node that cannot reach the
    # store.
    When the store is unresponsive for longer than a revoked key may be accepted
    Then requests are refused with 503 and accepted again once the store responds

  Scenario: A graceful stop completes accepted requests
    # Guards against responses that are truncated by a planned stop.
    When the node receives SIGTERM while streams are in progress
    Then it is immediately not ready, the streams are complete and the node exits in time

  Scenario: A stopping node takes no stream that it cannot finish
    # Guards against accepting streams late in a graceful stop, when no time is
    # left to complete them, and truncating them (rule LOST).
    When a stream is requested 3 seconds after the node received SIGTERM
    Then it is refused with 503

  Scenario: A stream is moved off an engine that is reclaimed
    # Guards against losing urgent streams when their engine is reclaimed.
    When an engine with a non-repeatable stream is reclaimed
    Then its run is moved and the client receives each event once

  Scenario: Metrics and readiness are served
    When the metrics and the readiness of the node are read
    Then the metrics count the requests and the node is ready

  Scenario: A settings file that changes without a signal is applied
    # Guards against a node that keeps using bounds and addresses that the
    # platform has replaced.
    When the settings file of a running node changes its bounds and its ports
    Then the bounds are applied and the ports are reported as needing a restart

  Scenario: A hang-up signal while a node starts does not end it
    # Guards against a node that is killed by SIGHUP if its settings change
    # while it starts, before it has installed its handler (soak, seed 120).
    When a starting node reaches its first import
    Then it already ignores SIGHUP

  Scenario: A stream without a length or chunks is complete at its close
    # Guards against streams that are cut as they have no framing.
    When a request on "chat" gets "unframed stream" from each server
    Then the client receives the complete stream

  Scenario Outline: A stream that closes within an event has been broken off
    # Guards against a stream that breaks off and reaches the client as whole.
    When a request on "<route>" gets "<first>" from one server and "normal" from the other
    Then the client receives <outcome>

    Examples: without a length or chunks
      | route | first          | outcome                   |
      | chat  | unframed cut   | a stream without its end  |
      | chat  | unframed empty | an error                  |
      | plan  | unframed cut   | the complete stream       |
      | plan  | unframed empty | the complete stream       |

  Scenario Outline: An answer to HEAD has no body
    # Guards against bytes that a client takes for the beginning of its next
    # answer (rule MIXED).
    When a HEAD request gets "<answer>" and a GET request follows on its connection
    Then the first is answered with <status> and no body, and the second whole

    Examples: answers
      | answer                | status |
      | a plain answer        | 200    |
      | a stream              | 200    |
      | an error of a server  | 500    |
      | no route              | 404    |
      | a wrong key           | 401    |
      | no answer of a server | 502    |
      | silence of a server   | 504    |
      | no server             | 503    |
