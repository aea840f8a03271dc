Feature: Capacity of a node whose document or shares change

  Scenario Outline: A request is admitted before the next refresh of the capacity
    # Guards against a ready node that refuses requests for lack of a share.
    Given a node that refreshes its capacity only when it must
    When requests follow documents with <engines> engines
    Then the last request to the engines was <result>

    Examples:
      | engines | result          |
      | 1       | admitted        |
      | 0       | refused at once |
      | 0 and 1 | admitted        |
      | 1 and 0 | refused at once |

  Scenario: A document is offered to callers after its workers are known
    # Guards against a request to a service whose workers are not known yet.
    Given a node that refreshes its capacity only when it must
    When requests follow documents with 1 engines
    Then the node had no document when it received the workers

  Scenario: An order with a slot is sent although the share of its node falls
    # Guards against an order that is refused after it was given a slot.
    Given 4 orders at a node that has all 4 slots of a plain service
    When the demand of a peer becomes known while their records are written
    Then every order is sent once and answered
