Feature: Prompt parts under which servers crash

  Scenario: Requests with a part that crashes servers do not reach one after the other
    # Guards against a fleet of engines lost to requests of one kind.
    When requests with a part that crashes its server come at 3 nodes beside sound ones
    Then at most 3 of them reach servers later than the contact bound after the fifth crash
    And sound requests begin at the first attempt at least 0.9 times as often as before
