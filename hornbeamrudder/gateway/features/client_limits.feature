Feature: Limits on what clients make a node hold

  Without a network: the account, its decisions, and the parser of requests.

  Scenario Outline: Who is closed first
    # Guards against closing ordinary clients for what a crowd holds; the load
    # is a crowd beside one ordinary client.
    Given clients that hold "<one>" and "<two>"
    When the order of closing for bytes is asked for
    Then "<first>" goes first

    Examples: one client of two, as phase, part, bytes, seconds
      | one                          | two                            | first |
      | reading reading 4000000 2    | reading reading 4000000 0.1    | one   |
      | reading reading 4000000 1    | reading reading 20000 1        | one   |
      | reading reading 200000 1     | answering running 4000000 9    | one   |
      | answering queued 4000000 1   | reading reading 20000 2        | one   |
      | idle unread 2000000 3        | reading reading 20000 1        | one   |
      | idle unread 2000000 0.1      | reading reading 20000 0.1      | two   |
      | reading unreceived 131072 1  | reading reading 2000 1         | one   |

  Scenario: A request that was read whole is never closed for bytes
    # Guards against cutting a request that may have run.
    Given an account of 1 MB that a client exceeds with a request in progress
    When another client has read 2000 bytes of a head
    Then only the other client is closed

  Scenario Outline: Which connection is closed when there are too many
    # Guards against a crowd of open connections that keeps ordinary clients
    # out, or costs them theirs first.
    Given connections "<one>" and "<two>"
    When one of them has to be closed
    Then "<first>" is closed

    Examples: as phase, seconds since progress, completed
      | one               | two                | first   |
      | idle 9 no         | idle 1 no          | one     |
      | idle 1 no         | idle 9 yes         | one     |
      | reading 5 no      | idle 9 yes         | one     |
      | closing 0 yes     | idle 9 no          | one     |
      | answering 99 no   | idle 0 yes         | two     |
      | answering 99 no   | answering 99 yes   | neither |

  Scenario: Large bodies take turns
    # Guards against bodies that take all memory together, though each is
    # legal; the load is eight bodies of 4 MB at once where six fit.
    Given an account of 32 MB
    When 8 clients each want to send 4 MB
    Then 6 are granted and 2 wait
    And one that waits is granted when a body has been answered

  Scenario: A client is closed while another one is granted
    # Guards against a sweep that fails, and leaves all others without a grant,
    # because reading a granted body on closes one that waits behind it.
    Given an account of 32 MB
    When 8 clients each want to send 4 MB
    And a body is answered and the next one, once granted, closes the last
    Then 7 are granted, and only the last is closed

  Scenario: Bodies that stall make room for others
    # Guards against a crowd that stops short of its end and keeps others out.
    Given an account of 32 MB
    When 8 clients each want to send 4 MB
    And 0.2 seconds pass
    Then 6 are granted and 2 wait
    When 0.1 seconds pass
    Then the 2 that waited are granted and 2 others are closed

  Scenario: A body that makes progress keeps its grant, and others wait shortly
    # Guards against refusing an ordinary slow client, and against clients that
    # wait for a place without end.
    Given an account of 32 MB
    When 8 clients each want to send 4 MB
    And they make progress for 1.1 seconds
    Then the 2 that waited are refused for want of a grant and none is closed

  Scenario: A body of any size is granted when there is no other
    # Guards against a single request inside the limits that is refused in
    # calm, on a host with little memory.
    Given an account of 1 MB
    When 1 clients each want to send 4 MB
    Then 1 are granted and 0 wait

  Scenario: All that a client held is returned
    # Guards against an account that fills up over days of ordinary clients.
    Given a server in memory whose handler answers
    When 500 clients send requests, halves of requests and bodies of 60000 bytes, and leave
    Then the account holds nothing

  Scenario: The settings leave descriptors to the store and the servers
    # Guards against a node that accepts clients with its last descriptor.
    Then of 4100 descriptors clients may take 1950, and 64 at each other listener
    And of 300 descriptors clients may take 50, and 8 at each other listener

  Scenario: Very small pieces of all clients together are paced
    # Guards against a crowd whose chunks of one byte take all processor time.
    When 10 clients each lack 64000 bytes in their pieces at once
    Then the last of them is not read for 0.04 seconds

  Scenario Outline: Clients inside the limits are served whole
    # Guards against limits that ordinary clients meet.
    Given a server in memory whose handler answers
    When an ordinary client sends "<input>"
    Then it receives <count> whole responses with status 200

    Examples:
      | input                                   | count |
      | 100 requests ahead                      | 100   |
      | 20 requests ahead with bodies of 300000 | 20    |
      | a body of 4194304                       | 1     |
      | a body of 4194304 in chunks of 1000     | 1     |
      | a body of 4194304 after 100 Continue    | 1     |
      | a body of 20000 in chunks of 1          | 1     |
      | a head of 200 fields                    | 1     |
      | upgrade of 3 requests                   | 3     |
      | upgrade with 2 bodies of 3000           | 2     |
      | upgrade with a body of 3000 in chunks of 60 | 1 |

  Scenario: A request behind another one is told to continue
    # Guards against an ordinary client that waits to send its body until the
    # time for it is over.
    Given a server in memory whose handler answers
    When a client sends a request, and one that expects to be told to continue
    Then it receives 2 whole responses with status 200

  Scenario Outline: A request without a clear end is refused and not run
    # Guards against a body that is taken for a request, and framing that is
    # read without end.
    Given a server in memory whose handler answers
    When an unclear request is sent, with "<input>"
    Then <run> requests are run, and the last response is <status> and closes

    Examples:
      | input                        | run | status |
      | two lengths                  | 0   | 400    |
      | a length and chunks          | 0   | 400    |
      | a chunk extension to no end  | 0   | 400    |
      | trailers to no end           | 0   | 400    |
      | blank lines to no end        | 0   | 431    |
      | requests behind the last one | 1   | 200    |

  Scenario: Pauses for small pieces do not lengthen the time for a body
    # Guards against a client that is read without end, because each pause
    # starts its time anew.
    Given a server in memory whose handler answers
    And the time for a body is 0.6 seconds
    When a client sends 1200 chunks of one byte every 0.2 seconds
    Then it is refused before it gives up
    And 0 requests are run, and the last response is 408 and closes
