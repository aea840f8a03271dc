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
