Feature: At-most-once execution of orders under faults

  Scenario: Each fault at every step
    # Guards against a lost, repeated or wrongly answered order after a kill, a
    # pause, or a fault of the table service or the backend server.
    When orders run on 5 seeds with each fault at every step
    Then no guarantee is violated

  Scenario: Two faults at random steps
    # Guards against violations that need a combination of faults.
    When orders run on 800 seeds with 2 faults each
    Then no guarantee is violated

  Scenario: Four faults at random steps
    # Guards against violations by a fault during the handling of another one.
    When orders run on 300 seeds with 4 faults each
    Then no guarantee is violated

  Scenario Outline: Disabling <mechanism> causes a violation
    # Guards against checks that cannot detect the violation that the mechanism
    # prevents.
    Given the expected violation "<violation>"
    When the mechanism "<mechanism>" is disabled
    Then the violation is found

    Examples:
      | mechanism                         | violation                      |
      | send window                       | sent after the send window     |
      | in-doubt state after a time-out   | reported not run, but recorded |
      | second write after read-back      | reported not run, but recorded |
      | comparison of the whole row       | committed not linearizable     |
      | compare-and-set                   | executed twice                 |
      | single send                       | executed twice                 |
      | no takeover of dispatching orders | executed twice                 |
      | only the holder rejects           | reported not run, but executed |
      | not run replied after its write   | reported not run, but executed |
      | digest of the request             | answer to another request      |
      | check that nothing was sent       | reported not run, but executed |
      | recovery                          | still dispatching              |

  Scenario: The checker accepts a valid history
    # Guards against a checker that rejects every history.
    Given the history "valid"
    Then no guarantee is violated

  Scenario Outline: The checker rejects <history>
    # Guards against a checker that accepts every history.
    Given the history "<history>"
    Then the checker reports "<report>"

    Examples:
      | history                    | report                     |
      | executed twice             | executed twice             |
      | not run but executed       | not run, but executed      |
      | not run but recorded       | not run, but recorded      |
      | answers differ             | answers differ             |
      | other request              | to another request         |
      | illegal transition         | done -> dispatching        |
      | not run by another         | by another attempt         |
      | deleted early              | deleted too early          |
      | lost version               | out of order               |
      | write outside its interval | committed not linearizable |
      | failed write applied       | failed not linearizable    |
      | stale read                 | read not linearizable      |
      | late send                  | after the send window      |
      | unconfirmed send           | without a confirmed        |
