Feature: Failover of requests to other backend servers

  Scenario Outline: A response in progress is not given up for a server that refuses
    # Guards against responses cut because the server tried instead refuses.
    When a request on "<route>" gets "<first>" from one server and "<second>" from the other
    Then the client receives the complete response of the first of 2 servers

    Examples: refusing servers
      | route | first | second |
      | plan  | pause | full   |
      | plan  | pause | reset  |
      | plan  | pause | error  |
      | plan  | pause | page   |
      | plan  | late  | full   |
      | look  | late  | full   |
      | look  | late  | reset  |

  Scenario: A stream in progress is not given up for a server that has ended
    # Guards against streams cut because the server tried instead has ended.
    When a resumable stream pauses and the other server is not listening
    Then the client receives the complete response of the first of 1 servers

  Scenario: A stream of a leaving engine is not given up for an engine that refuses
    # Guards against streams cut before their engine has ended.
    When a resumable stream is served by an engine that leaves and the other refuses
    Then the client receives the complete response of the first of 2 servers

  Scenario Outline: A stream of a leaving engine goes on if it can't be moved
    # Guards against runs that are stopped before another engine has room.
    When a non-repeatable stream is served by an engine that leaves and moves fail "<failing>"
    Then the client receives each event once, from <servers> servers

    Examples: failing moves
      | failing       | servers |
      | always        | 1       |
      | when stopping | 2       |

  Scenario: A server that was not reached is tried again
    # Guards against requests that end although the only other server is back.
    When a request on "plan" gets no response and the other server listens only later
    Then the client receives the complete stream

  Scenario: A connection that is not made at first is tried again
    # Guards against requests that wait for a server until they expire although one is free.
    When a request on "look" gets "error" and the connection to the other server fails once
    Then the client receives the complete response of the second server

  Scenario: The response of a failing server is kept if another server refuses
    # Guards against replacing a response of a server by an error of the node.
    When a request on "look" gets "error" from one server and "full" from the other
    Then the client receives the error response of the first server

  Scenario: Two servers work on a request only for a short time
    # Guards against two engines that generate the same stream.
    When neither server responds to a request on "plan"
    Then the first one is disconnected within 0.4 seconds of the second request

  Scenario: Work is cancelled at both servers when the client disconnects
    # Guards against work for nobody at the server that was tried second.
    When a client disconnects while its request is tried at a second server
    Then the request is cancelled at both servers within half a second

  Scenario Outline: A second server is not given up for a late refusal
    # Guards against errors sent although another server works on the request.
    When a request on "<route>" gets "<first>" after <late> s and then "normal" after 0.15 s
    Then the client receives the complete response of the second server

    Examples: late responses that are no answer
      | route | first | late |
      | plan  | full  | 0.83 |
      | plan  | error | 0.83 |
      | look  | full  | 0.28 |
      | look  | error | 0.28 |

  Scenario: A late refusal promises nothing about the server tried meanwhile
    # Guards against 503 for requests that another server may have run.
    When a request on "plan" gets "full" after 0.85 s and then "reset" after 0.05 s
    Then its status does not promise that it was not run

  Scenario: A first event that is cut off is not joined with another run
    # Guards against a corrupt first event in a response that seems complete.
    When a stream is cut off within its first event
    Then the client receives the complete response of the second server

  Scenario: The first engine stops once the second one has begun to generate
    # Guards against two engines that generate the same stream.
    When both engines of a resumable stream send an event at the same time
    Then the first one is disconnected within 0.4 seconds of the second request

  Scenario: A stream that goes on is not tried elsewhere again at once
    # Guards against sends that an abandoned attempt causes.
    When a resumable stream goes on while a third attempt is allowed
    Then the client receives the complete response of the first of 2 servers

  Scenario Outline: A refusal does not use up an attempt
    # Guards against streams cut though a server is left that accepts them.
    When a resumable stream with <attempts> attempts gets "cut", "full" and "normal" from <engines> engines
    Then the client receives the complete stream

    Examples: servers left
      | attempts | engines |
      | 2        | 3       |
      | 3        | 2       |

  Scenario: A server that has another one's address is avoided
    # Guards against further sends to addresses that were reused.
    When a request on "plan" is tried at a server with another id
    Then that server is avoided

  Scenario Outline: No slot stays reserved for a run that ends while it is moved
    # Guards against slots lost until the node is restarted.
    When <event> while its run is moved
    Then no slot is reserved

    Examples: ends
      | event                                   |
      | a client disconnects                    |
      | a client disconnects from a stopped run |
      | a stream ends                           |

  Scenario: A run that was stopped but not moved goes on
    # Guards against streams cut though their engine keeps the memory.
    When an engine stops a run and answers that there is no room elsewhere
    Then the client receives the complete stream

  Scenario Outline: A server on a slow host gets more time to respond
    # Guards against requests sent to a second server because the host of the
    # first one is slow at the moment and says so.
    When the servers of "<route>" state the slowness <slowness> and the first response is late by <late> s
    Then <count> servers receive the late request and the client receives a complete response

    Examples: what servers state
      | route | slowness | late | count |
      | plan  | 100      | 1.1  | 2     |
      | plan  | 300      | 1.1  | 1     |
      | look  | 100      | 0.4  | 2     |
      | look  | 300      | 0.4  | 1     |

  Scenario Outline: A gap in a stream that exceeds the target of its route is logged
    # Guards against late streams that operators can't tell from others.
    When a request on "<route>" gets "<first>" from one server and "<second>" from the other
    Then the log has <count> gaps over the target, the stream going on at "<server>"

    Examples: gaps
      | route | first  | second | count | server         |
      | chat  | normal | normal | 0     | same server    |
      | chat  | pause  | normal | 1     | same server    |
      | plan  | cut    | late   | 1     | another server |
