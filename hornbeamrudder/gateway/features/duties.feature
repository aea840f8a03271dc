Feature: Calls of the duties to the platform

  Scenario Outline: A holder that was overtaken stops at once
    # Guards against a holder that repeats calls under a number that another
    # node has overtaken while it cannot read who holds the term.
    Given a node that holds the duties, with fencing required
    When another node has made <calls> with a higher number and the store is "<store>"
    Then the node makes no call with its number later than 0.3 s after the first refusal
    And it acts again only with a number above that of the other node

    Examples: what is refused, and what the holder can read
      | calls    | store        |
      | orders   | unresponsive |
      | orders   | sound        |
      | reports  | sound        |

  Scenario: A refused order of the present holder tells of a shortage
    # Guards against a holder that gives up its term as no reclaimable server
    # is to be had.
    Given a node that holds the duties, with fencing required
    When no reclaimable server is available for 2 s
    Then the node orders them again with the same number

  Scenario: An order that is carried out late does not undo a later one
    # Guards against the number of servers of an earlier order, whose response
    # was lost.
    Given a node that holds the duties, with fencing required
    When an order of 3 servers gets no response and is carried out after 4.5 s, and 4 are needed after 1 s
    Then the last order that is carried out is for 4 servers
    And the numbers of the orders increase

  Scenario: A holder keeps its number where the platform does not check it
    # Guards against a lower number that arrives after a higher one: it would
    # be carried out (rule ONE).
    Given a node that holds the duties, with fencing not required
    When an order of 3 servers gets no response and is carried out after 4.5 s, and 4 are needed after 1 s
    Then the numbers of the orders stay the same
