Feature: Bytes without end from servers in trouble

  Scenario Outline: An answer without end is cut off
    # Guards against a node that reads and holds all that a server sends, for
    # as long as the request lasts.
    When a request on "<route>" is answered with a "<kind>" without end and then normally
    Then the client receives <status> from <arrivals> servers
    And the node cuts off the server within <bytes> MB and <limit> ms

    Examples:
      | route | kind                        | status | arrivals | bytes | limit |
      | look  | blank lines before the head | 200    | 2        | 1     | 500   |
      | look  | header line                 | 200    | 2        | 1     | 500   |
      | look  | header lines                | 200    | 2        | 1     | 500   |
      | look  | interim answers             | 200    | 2        | 1     | 500   |
      | look  | answer to another request   | 200    | 2        | 4     | 500   |
      | look  | sized body                  | 200    | 2        | 4     | 500   |
      | look  | chunked body                | 200    | 2        | 4     | 500   |
      | look  | body without a length       | 200    | 2        | 4     | 500   |
      | look  | chunk extension             | 200    | 2        | 1     | 500   |
      | look  | trailer                     | 200    | 2        | 1     | 500   |
      | look  | drip                        | 200    | 2        | 1     | 500   |
      | book  | header line                 | 502    | 1        | 1     | 500   |
      | book  | header lines                | 502    | 1        | 1     | 500   |
      | book  | interim answers             | 502    | 1        | 1     | 500   |
      | book  | answer to another request   | 502    | 1        | 4     | 500   |
      | book  | sized body                  | 502    | 1        | 4     | 500   |
      | book  | chunked body                | 502    | 1        | 4     | 500   |
      | book  | body without a length       | 502    | 1        | 4     | 500   |
      | book  | trailer                     | 502    | 1        | 1     | 500   |
      | chat  | header lines                | 502    | 1        | 1     | 500   |
      | chat  | event                       | 502    | 1        | 1     | 500   |
      | chat  | blank lines                 | 502    | 1        | 1     | 500   |
      | plan  | header lines                | 200    | 2        | 1     | 500   |
      | plan  | event                       | 200    | 2        | 1     | 500   |
      | plan  | blank lines                 | 200    | 2        | 1     | 500   |

  Scenario Outline: An event without end breaks a stream
    # Guards against a node that holds an event without end, and never goes on
    # elsewhere because bytes still arrive.
    When a "<route>" stream goes on with a "<kind>" without end after 3 events
    Then the client receives <events> events once, <end>
    And the node cuts off the server within 1 MB and <limit> ms

    Examples:
      | route | kind            | events | end        | limit |
      | plan  | event           | 6      | complete   | 500   |
      | plan  | blank lines     | 6      | complete   | 500   |
      | plan  | chunk extension | 6      | complete   | 500   |
      | plan  | trailer         | 6      | complete   | 500   |
      | plan  | drip            | 6      | complete   | 1000  |
      | chat  | event           | 3      | incomplete | 500   |
      | chat  | chunk extension | 3      | incomplete | 500   |

  Scenario Outline: Blank lines are no events
    # Guards against blank lines that count as events, and so as progress of a
    # stream, and against a change of the bytes that the client receives.
    When a stream of 5 events with <blanks> blank lines between them, ended by "<end>", arrives in pieces of <size> bytes
    Then 5 events are counted and no byte is lost

    Examples:
      | blanks | end  | size |
      | 1      | LF   | 1    |
      | 4      | LF   | 1    |
      | 4      | LF   | 7    |
      | 4      | CRLF | 1    |
      | 4      | CRLF | 1000 |

  Scenario: A large event in small pieces takes little time
    # Guards against a search of the whole event for each of its pieces.
    When an event of 60000 bytes arrives in pieces of 1 byte
    Then it takes less than a second of processor time

  Scenario: A stream whose server drips bytes goes on where it is if it can't go elsewhere
    # Guards against a cut of a stream that no other server can continue.
    When the only engine drips bytes within an event after 3 events
    Then the client receives 3 events once, incomplete
    And the stream has lasted until its deadline
    And it was tried elsewhere at most 4 times

  Scenario Outline: An answer without end to a call of the node is cut off
    # Guards against a node that holds all that the store, the cloud API or an
    # engine sends.
    When a call is answered with a "<kind>" without end
    Then the call fails with an unknown outcome
    And the node cuts off the server within <bytes> MB and 1500 ms

    Examples:
      | kind            | bytes |
      | header line     | 1     |
      | header lines    | 1     |
      | interim answers | 1     |
      | sized body      | 12    |
      | chunked body    | 12    |
      | chunk extension | 1     |
      | trailer         | 1     |

  Scenario Outline: Many answers without end at once do not use up the memory of a node
    # Guards against a node that is ended because of answers that each stay
    # below their own limits, together with the requests of all other clients.
    When 400 requests at once to a node process get "<status>" and a "<kind>" that goes on slowly after <burst> kB
    Then the process has used less than 300 MB
    And it answers 20 further requests whole

    Examples:
      | status    | kind                | burst |
      | 500 Error | sized body          | 1900  |
      | 500 Error | chunked body        | 1900  |
      | 500 Error | body without a length | 1900 |
      | 404 None  | sized body          | 1900  |
      | 200 OK    | header lines        | 60    |
      | 200 OK    | header line         | 60    |
      | 200 OK    | event               | 60    |

  Scenario: The answer that holds most is ended first
    # Guards against sound answers that are lost to those without end.
    When connections that hold 10, 60 and 5 of 80 bytes receive 10 more each
    Then only the second one is ended, and 35 bytes are held

  Scenario Outline: No bytes stay counted after an answer has ended
    # Guards against a limit that fills up while the node runs.
    When requests on all routes are answered "<behaviour>" and clients disconnect
    Then the node holds no bytes of answers

    Examples:
      | behaviour       |
      | normal          |
      | error text      |
      | page            |
      | cut             |
      | reset           |
      | garbled         |
      | unframed reset  |
      | extra           |
      | late extra      |
      | unsealed        |
      | pause           |
      | trickle         |
      | unframed stream |
      | unframed cut    |

  Scenario Outline: An error response is counted while another server is asked
    # Guards against large error responses that are kept for many requests
    # while no other server answers; a dropped one still tells that the request
    # has run.
    When "look" gets "error text" and then no answer, and its room is <room>
    Then <count> bytes are held meanwhile and 0 afterwards
    And the client receives 500 and <count> bytes

    Examples:
      | room   | count |
      | left   | 75    |
      | needed | 0     |

  Scenario: An answer that is cut off counts as an error of its server
    # Guards against avoiding a server that still answers other requests.
    When a request on "book" is answered with a "header lines" without end and then normally
    Then the outcome for the server is an error

  Scenario: Large answers within the limit are delivered whole
    # Guards against limits that cut off proper answers.
    When a server answers with a body of 100000 bytes in chunks of 1 byte and a trailer
    Then the client receives the whole body

  Scenario Outline: A request without end is cut off
    # Guards against a node that reads and holds what a client sends outside a
    # body, for as long as the client sends.
    When a client sends "<input>" without end
    Then the client receives <status> and can send at most 1 MB

    Examples:
      | input           | status |
      | a target        | 431    |
      | a header line   | 431    |
      | blank lines     | 431    |
      | chunk extension | 400    |
      | a trailer       | 400    |

  Scenario: A datagram that expands without measure is dropped
    # Guards against a node that expands a small datagram into all its memory.
    When a node receives a datagram that expands to 50 MB
    Then it is dropped and takes less than 8 MB
