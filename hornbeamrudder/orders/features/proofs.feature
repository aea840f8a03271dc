Feature: Orders run at most once under faults

  Scenario: Each fault at every step
    # Guards against a lost, doubled or wrongly answered order after a kill, a
    # pause, a fault of the table service or of the backend server.
    When orders run on 5 seeds with each fault at every step
    Then no promise is broken

  Scenario: Two faults at random steps
    # Guards against faults that only show in combination.
    When orders run on 800 seeds with 2 faults each
    Then no promise is broken

  Scenario: Four faults at random steps
    # Guards against faults while an earlier one is being handled.
    When orders run on 300 seeds with 4 faults each
    Then no promise is broken

  Scenario Outline: The proof fails without <mechanism>
    # Guards against a proof that cannot see the fault it is there for.
    Given the proof looks for "<fault>"
    When the mechanism "<mechanism>" is off
    Then the proof finds it

    Examples:
      | mechanism                    | fault                            |
      | send window                  | sent after the send window       |
      | doubt after a timeout        | told not run, but it was recorded |
      | second write after read back | told not run, but it was recorded |
      | comparison of the whole row  | committed does not fit           |
      | compare-and-set              | double run                       |
      | no second send               | double run                       |
      | dispatching is left alone    | double run                       |
      | only the holder says not run | told not run, but it ran         |
      | confirmed not run            | told not run, but it ran         |
      | digest of the request        | answer to another request        |
      | proof that nothing was sent  | told not run, but it ran         |
      | recovery                     | still dispatching                |

  Scenario: The checker accepts a good history
    # Guards against a checker that rejects everything.
    Given the history "good"
    Then no promise is broken

  Scenario Outline: The checker rejects <history>
    # Guards against a checker that accepts everything.
    Given the history "<history>"
    Then the checker reports "<report>"

    Examples:
      | history                | report                |
      | double run             | double run            |
      | not run but ran        | but it ran            |
      | not run but recorded   | but it was recorded   |
      | answers differ         | differ                |
      | other request          | to another request    |
      | illegal transition     | done -> dispatching   |
      | not run by another     | by another attempt    |
      | deleted early          | deleted too early     |
      | lost version           | out of order          |
      | write outside its time | committed does not    |
      | failed write applied   | failed does not       |
      | stale read             | read does not         |
      | late send              | after the send window |
      | unconfirmed send       | without a confirmed   |
