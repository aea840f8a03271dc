Feature: Weight loads within the weight store's rate

  Scenario: Staggered loads put the first engines into service earlier
    # Guards against concurrent downloads that delay all engines.
    Given 8 new engines and a weight store that loads 2 models in 60 seconds
    Then with staggered loads the first engine serves after 60 seconds
    And with all loads at once the first engine serves after 240 seconds
    And in both cases the last engine serves after 240 seconds

  Scenario: An engine that has the weights is preferred
    # Guards against unnecessary downloads.
    Given an engine with the weights of "quill" and one without
    When one more engine for "quill" is needed
    Then the engine with the weights changes its role and nothing is loaded

  Scenario: A busy weight store delays loads but not role changes
    # Guards against role changes that wait for the downloads of other engines.
    Given an engine with the weights of "quill" and one without
    When two more engines for "quill" are needed and the store is busy
    Then the engine with the weights changes its role and nothing is loaded

  Scenario: Plans respect the limits for any fleet
    # Guards against too many concurrent downloads, against loading weights that
    # are present, and against taking engines that their model requires.
    Then random plans respect the limits
