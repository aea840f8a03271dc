Feature: What backend servers ask for in their answers

  Scenario Outline: A server that says in an answer that it leaves gets no request
    # Guards against requests to a server that leaves, before or after the
    # store tells of it.
    When a server on "<route>" says in an answer that it leaves, and <entry>
    Then no further request reaches it, and each is served

    Examples: what happens to its entry
      | route | entry                        |
      | look  | its entry stays              |
      | plan  | its entry stays              |
      | chat  | its entry stays              |
      | look  | its entry is written again   |
      | look  | its entry is gone for 0.3 s  |
      | plan  | the store is down            |

  Scenario: A server that has left is used again after its next start
    # Guards against servers that are lost for good.
    When a server on "look" says in an answer that it leaves, and it starts again
    Then further requests reach it, and each is served

  Scenario: A refused request tells that its server leaves
    # Guards against requests to a leaving server that has refused one.
    When a server on "look" refuses a request and says that it leaves
    Then no further request reaches it, and each is served

  Scenario Outline: A server that asks for a pause gets none of the requests of a node
    # Guards against requests to a server that has turned one away for a time.
    When a server on "<route>" refuses a request with Retry-After "<value>"
    Then no request reaches it from half a second later until <until> s, and each is served
    And requests reach it again <again> s after its refusal

    Examples: in seconds, also in fractions
      | route | value | until | again |
      | look  | 1.6   | 1.6   | 2.6   |
      | plan  | 2     | 2.0   | 3.0   |

    Examples: no number of seconds
      | route | value                         | until | again |
      | look  | soon                          | 0.0   | 1.0   |
      | look  | nan                           | 0.0   | 1.0   |
      | look  | -3                            | 0.0   | 1.0   |
      | look  | Fri, 31 Dec 1999 23:59:59 GMT | 0.0   | 1.0   |

  Scenario: A request is refused at once if all servers ask for a longer pause
    # Guards against requests that wait for servers until their time is over.
    When all servers on "book" ask for a pause longer than a request may wait
    Then the next request gets 503 with Retry-After within 0.3 s and reaches none
