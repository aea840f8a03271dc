Feature: Orders to model engines under a lease

  # A former holder prepares an order just before its lease ends, is paused
  # at one of its steps and wakes at any time, while a new holder orders
  # another target. Engines' wall clocks differ by up to 0.5 s.

  Scenario: An engine that checks fencing applies no order after a newer one
    # Guards against a stale order that undoes the new holder's order.
    Given engines that check fencing and check the expiry
    When a former holder wakes after a pause at each of its steps
    Then no stale order acts after the new holder's first order
    And every engine ends in the new holder's target

  Scenario: An engine that ignores fencing is protected by expiry and wait
    # Guards against the same fault where the fencing number has no effect.
    Given engines that ignore fencing and check the expiry
    When a former holder wakes after a pause at each of its steps
    Then no stale order acts after the new holder's first order
    And every engine ends in the new holder's target
    And stale orders do take effect before that first order

  Scenario: Without the wait a stale order undoes a newer one
    # Shows the failure that the wait of a new holder guards against.
    Given engines that ignore fencing and check the expiry
    When the new holder does not wait and a former holder wakes
    Then some stale order acts after the new holder's first order

  Scenario: Expiry counted from the time of sending does not help
    # Shows why the clocks are read before the lease is checked.
    Given engines that ignore fencing and check the expiry
    When the expiry is set at the time of sending and a former holder wakes
    Then some stale order acts after the new holder's first order

  Scenario: An engine that checks neither is only corrected afterwards
    # States what remains unsafe: such an engine applies a stale order at any
    # time, until the next observation.
    Given engines that ignore fencing and ignore the expiry
    When a former holder wakes after a pause at each of its steps
    Then some stale order acts after the new holder's first order
    And every engine ends in the new holder's target
    And no engine keeps a stale target for more than 2.5 seconds
